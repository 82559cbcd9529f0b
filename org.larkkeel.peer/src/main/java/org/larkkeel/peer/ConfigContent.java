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
 * <p>Not to be changed after it was handed over.
 *
 * @param revision what a node holds that has applied the page
 * @param bytes the content, at most {@value #MAX_BYTES} bytes, not copied
 * @param more true if another page follows this revision
 * @since 0.1
 */
@SuppressWarnings("ArrayRecordComponent") // The array is handed to the codec without a copy.
public record ConfigContent(Revision revision, byte[] bytes, boolean more) {
  /** The most bytes of a page. */
  public static final int MAX_BYTES = 2 * 1_024 * 1_024;

  /** Checks the bound. */
  public ConfigContent {
    if (bytes.length > MAX_BYTES) {
      throw new IllegalArgumentException(
          "bytes has " + bytes.length + " bytes: split it into pages of at most " + MAX_BYTES);
    }
  }
}
