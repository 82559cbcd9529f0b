/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.config;

import java.util.Optional;
import org.larkkeel.errors.Slugs;

/**
 * The kinds of configuration objects.
 *
 * @since 0.1
 */
public enum ObjectKind {
  /** An {@link Upstream}. */
  UPSTREAM(ConfigurationKeys.UPSTREAMS),
  /** A {@link Pool}. */
  POOL(ConfigurationKeys.POOLS),
  /** A {@link Rule}. */
  RULE(ConfigurationKeys.RULES),
  /** A {@link Workspace}. */
  WORKSPACE(ConfigurationKeys.WORKSPACES);

  private final String section;

  ObjectKind(String section) {
    this.section = section;
  }

  /**
   * Returns the key of the kind's section in a document.
   *
   * @return the plural, such as {@code upstreams}
   */
  public String section() {
    return section;
  }

  /**
   * Returns the name of the kind in messages and changes.
   *
   * @return the singular, such as {@code upstream}
   */
  public String slug() {
    return Slugs.of(this);
  }

  /**
   * Finds a kind by the singular or plural of its name.
   *
   * @param text the text, never null
   * @return the kind, empty if there is none of that name
   */
  public static Optional<ObjectKind> parse(String text) {
    for (ObjectKind kind : values()) {
      if (kind.slug().equals(text) || kind.section.equals(text)) {
        return Optional.of(kind);
      }
    }
    return Optional.empty();
  }
}
