/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.peer;

import org.larkkeel.lib.Revision;

/**
 * A page of configuration, opaque to this module.
 *
 * <p>The array must not be changed after it was passed on.
 *
 * @param revision the revision that a node holds after it has applied the page
 * @param bytes the content, at most {@value #MAX_PAGE_BYTES} bytes, not copied
 * @param more true if another page follows this revision
 * @since 0.1
 */
@SuppressWarnings("ArrayRecordComponent") // The array is handed to the codec without a copy.
public record ConfigContent(Revision revision, byte[] bytes, boolean more) {
  /** The maximum size of a page, in bytes. */
  public static final int MAX_PAGE_BYTES = 2 * 1_024 * 1_024;

  /**
   * Checks the size.
   *
   * @throws IllegalArgumentException if the page is larger than {@link #MAX_PAGE_BYTES}
   */
  public ConfigContent {
    if (bytes.length > MAX_PAGE_BYTES) {
      throw new IllegalArgumentException(
          "bytes has " + bytes.length + " bytes: split it into pages of at most " + MAX_PAGE_BYTES);
    }
  }
}
