/** Tests of the planning of orders. */
package org.larkkeel.platform.order;
