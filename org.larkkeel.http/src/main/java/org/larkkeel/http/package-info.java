/** What every HTTP listener of larkkeel shares: the I/O threads, problem bodies, bearer tokens. */
package org.larkkeel.http;
