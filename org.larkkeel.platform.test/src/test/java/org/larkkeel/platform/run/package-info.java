/** Tests of the run records. */
package org.larkkeel.platform.run;
