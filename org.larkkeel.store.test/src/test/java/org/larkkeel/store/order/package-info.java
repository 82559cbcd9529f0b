/** Tests of the planning and sending of orders. */
package org.larkkeel.store.order;
