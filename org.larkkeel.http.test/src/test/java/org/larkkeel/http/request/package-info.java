/** Tests of requests in progress. */
package org.larkkeel.http.request;
