/**
 * A simulated cluster in virtual time. Its nodes run the real router, run log, configuration log
 * and membership; callers, engines, services and the platform are fakes.
 */
package org.larkkeel.bench.proof.world;
