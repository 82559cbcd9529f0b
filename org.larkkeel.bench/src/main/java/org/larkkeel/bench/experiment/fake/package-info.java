/** Fakes of engines, links, services, the store and nodes, all in virtual time. */
package org.larkkeel.bench.experiment.fake;
