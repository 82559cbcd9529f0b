/** Classes shared by all HTTP listeners of larkkeel: I/O threads, problem bodies, bearer tokens. */
package org.larkkeel.http;
