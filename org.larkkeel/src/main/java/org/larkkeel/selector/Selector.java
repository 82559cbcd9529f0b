/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.selector;

import com.google.common.collect.ImmutableList;
import org.larkkeel.lib.Labels;

/**
 * A conjunction of requirements over labels, such as {@code gen in (old, new), role=decode}.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param requirements the conditions, all of which must hold; an empty list matches everything
 * @since 0.1
 */
public record Selector(ImmutableList<Requirement> requirements) {
  /** Matches everything; its text is empty. */
  public static final Selector ALL = new Selector(ImmutableList.of());

  /**
   * Parses a selector.
   *
   * @param text the set-based syntax: {@code k=v}, {@code k==v}, {@code k!=v}, {@code k in (a, b)},
   *     {@code k notin (a, b)}, {@code k}, {@code !k}, joined by commas; empty matches everything
   * @return the selector
   * @throws SelectorSyntaxException if the text is malformed; it names the position and what was
   *     expected there
   */
  public static Selector parse(String text) {
    return new SelectorParser(text).parse();
  }

  /**
   * Returns whether labels meet all requirements.
   *
   * @param labels the labels
   * @return true if every requirement holds
   */
  public boolean matches(Labels labels) {
    for (Requirement requirement : requirements) {
      if (!requirement.matches(labels)) {
        return false;
      }
    }
    return true;
  }

  @Override
  public String toString() {
    return String.join(", ", requirements.stream().map(Requirement::toString).toList());
  }
}
