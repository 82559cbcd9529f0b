/** Tests of the planning of orders. */
package org.larkkeel.store.order;
