/** Tests of the stand-ins. */
package org.larkkeel.standin;
