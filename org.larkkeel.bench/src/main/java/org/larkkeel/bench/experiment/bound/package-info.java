/** An upper bound on the goodput of a scenario, computed with full knowledge of it. */
package org.larkkeel.bench.experiment.bound;
