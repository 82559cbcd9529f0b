/** The policies under test: the core router and the baselines it is compared with. */
package org.larkkeel.bench.experiment.policy;
