/** The requests in progress, and the execution of effects on them. */
package org.larkkeel.http.request;
