/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.config;

/**
 * A JSON pointer (RFC 6901).
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param pointer the text; empty for the whole document
 * @since 0.1
 */
public record JsonPath(String pointer) {
  /** The pointer to the whole document. */
  public static final JsonPath ROOT = new JsonPath("");

  /**
   * Returns the pointer to a member of this value.
   *
   * @param key the key, unescaped
   * @return the pointer to the member
   */
  public JsonPath child(String key) {
    return new JsonPath(pointer + "/" + key.replace("~", "~0").replace("/", "~1"));
  }

  /**
   * Returns the pointer to an item of this array.
   *
   * @param index the index from 0
   * @return the pointer to the item
   */
  public JsonPath item(int index) {
    return new JsonPath(pointer + "/" + index);
  }

  /**
   * Returns the pointer to the enclosing value.
   *
   * @return the pointer without its last token; the root for the root itself
   */
  public JsonPath parent() {
    int slash = pointer.lastIndexOf('/');
    return slash < 0 ? ROOT : new JsonPath(pointer.substring(0, slash));
  }

  @Override
  public String toString() {
    return pointer.isEmpty() ? "/" : pointer;
  }
}
