/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.lib;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Collects resources and closes them in the reverse order of their registration.
 *
 * <p>Invariant: each resource is closed at most once, and a failure to close one does not prevent
 * closing the others. Safe for use by several threads.
 *
 * @since 0.1
 */
public final class Closer implements AutoCloseable {
  private final Deque<AutoCloseable> resources = new ArrayDeque<>();
  private boolean closed;

  /** Creates a closer without resources. */
  public Closer() {}

  /**
   * Registers a resource to be closed with this closer.
   *
   * @param resource the resource; closed immediately if this closer is already closed
   * @param <T> the type of the resource
   * @return the resource
   * @throws IllegalStateException if this closer is already closed
   */
  public <T extends AutoCloseable> T add(T resource) {
    if (push(resource)) {
      return resource;
    }
    IllegalStateException failure =
        new IllegalStateException("a resource was added after the closer was closed");
    try {
      resource.close();
    } catch (Exception e) {
      failure.addSuppressed(e);
    }
    throw failure;
  }

  private synchronized boolean push(AutoCloseable resource) {
    if (!closed) {
      resources.push(resource);
    }
    return !closed;
  }

  private synchronized AutoCloseable pop() {
    closed = true;
    return resources.poll();
  }

  /**
   * Closes all resources, the last registered first.
   *
   * @throws Exception the first failure; later failures are added to it as suppressed exceptions
   */
  @Override
  public void close() throws Exception {
    Exception first = null;
    for (AutoCloseable next = pop(); next != null; next = pop()) {
      try {
        next.close();
      } catch (Exception e) {
        if (e instanceof InterruptedException) {
          Thread.currentThread().interrupt();
        }
        if (first == null) {
          first = e;
        } else {
          first.addSuppressed(e);
        }
      }
    }
    if (first != null) {
      throw first;
    }
  }
}
