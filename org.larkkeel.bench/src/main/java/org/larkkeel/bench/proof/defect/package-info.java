/** Defects planted into copies of the sources, to show that the fault matrix detects them. */
package org.larkkeel.bench.proof.defect;
