/** The policies under test: the core router and the baselines to which it is compared. */
package org.larkkeel.bench.experiment.policy;
