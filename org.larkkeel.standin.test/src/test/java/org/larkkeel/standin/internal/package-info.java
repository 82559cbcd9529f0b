/** Tests of the workings of the stand-ins. */
package org.larkkeel.standin.internal;
