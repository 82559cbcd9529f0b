/** An upper bound on the goodput of a scenario, computed with full knowledge of the traffic. */
package org.larkkeel.bench.experiment.bound;
