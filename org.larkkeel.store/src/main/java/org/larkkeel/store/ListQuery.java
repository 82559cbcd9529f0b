/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.store;

/**
 * A query for one page of a collection. Immutable.
 *
 * @param collection the collection, never null
 * @param prefix the prefix of the names to list; empty for all, never null
 * @param limit the maximum number of items on a page, positive
 * @param continueToken the token from the previous page; empty for the first page, never null
 * @since 0.1
 */
public record ListQuery(String collection, String prefix, int limit, String continueToken) {
  /** The default maximum number of items on a page. */
  public static final int DEFAULT_LIMIT = 500;

  /**
   * Returns a query for the first page of a collection.
   *
   * @param collection the collection
   * @return the query
   */
  public static ListQuery of(String collection) {
    return new ListQuery(collection, "", DEFAULT_LIMIT, "");
  }

  /**
   * Returns a copy that lists only names with a prefix.
   *
   * @param newPrefix the prefix
   * @return the copy
   */
  public ListQuery withPrefix(String newPrefix) {
    return new ListQuery(collection, newPrefix, limit, continueToken);
  }

  /**
   * Returns a query for the next page.
   *
   * @param token the token from the previous page
   * @return the copy
   */
  public ListQuery after(String token) {
    return new ListQuery(collection, prefix, limit, token);
  }
}
