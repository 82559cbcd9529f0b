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
  /** The whole document. */
  public static final JsonPath ROOT = new JsonPath("");

  /**
   * Points to a member.
   *
   * @param key the key, unescaped
   * @return the pointer to that member
   */
  public JsonPath child(String key) {
    return new JsonPath(pointer + "/" + key.replace("~", "~0").replace("/", "~1"));
  }

  /**
   * Points to an item of an array.
   *
   * @param index the index from 0
   * @return the pointer to that item
   */
  public JsonPath item(int index) {
    return new JsonPath(pointer + "/" + index);
  }

  /**
   * Points to the enclosing value.
   *
   * @return the pointer without its last part; the root has itself
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
