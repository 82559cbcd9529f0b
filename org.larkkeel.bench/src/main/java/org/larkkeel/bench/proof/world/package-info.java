/** A small cluster in virtual time, whose nodes run the real decisions and logs. */
package org.larkkeel.bench.proof.world;
