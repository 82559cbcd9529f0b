/** What a controller orders model engines to do, so that pools get their declared shape. */
package org.larkkeel.store.order;
