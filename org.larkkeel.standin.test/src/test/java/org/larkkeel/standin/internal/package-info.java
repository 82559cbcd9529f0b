/** Tests of the implementation of the stand-ins. */
package org.larkkeel.standin.internal;
