/** The controller that sends orders to model engines, so that pools get their declared shape. */
package org.larkkeel.store.order;
