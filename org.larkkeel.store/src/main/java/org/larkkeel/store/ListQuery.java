/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.store;

/**
 * What to list.
 *
 * @param collection the collection, never null
 * @param prefix only names that begin so; empty for all, never null
 * @param limit the largest number of items on a page, positive
 * @param continueToken from the page before; empty for the first page, never null
 * @since 0.1
 */
public record ListQuery(String collection, String prefix, int limit, String continueToken) {
  /** Items on a page unless said otherwise. */
  public static final int DEFAULT_LIMIT = 500;

  /**
   * Asks for the first page of a collection.
   *
   * @param collection the collection
   * @return the query
   */
  public static ListQuery of(String collection) {
    return new ListQuery(collection, "", DEFAULT_LIMIT, "");
  }

  /**
   * Restricts the names.
   *
   * @param newPrefix only names that begin so
   * @return a changed copy
   */
  public ListQuery withPrefix(String newPrefix) {
    return new ListQuery(collection, newPrefix, limit, continueToken);
  }

  /**
   * Asks for a later page.
   *
   * @param token from the page before
   * @return a changed copy
   */
  public ListQuery after(String token) {
    return new ListQuery(collection, prefix, limit, token);
  }
}
