/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.config;

import java.util.Comparator;
import org.larkkeel.lib.Names;

/**
 * The identity of a configuration object across all kinds.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param kind the kind, never null
 * @param name the name, unique within the kind
 * @since 0.1
 */
public record ObjectId(ObjectKind kind, String name) implements Comparable<ObjectId> {
  private static final Comparator<ObjectId> ORDER =
      Comparator.comparing(ObjectId::kind).thenComparing(ObjectId::name);

  /** Validates the name. */
  public ObjectId {
    Names.check("the " + kind.slug(), name);
  }

  /**
   * Parses an id in the form that {@link #toString()} writes.
   *
   * @param text kind and name, such as {@code pool/p}
   * @return the id
   * @throws IllegalArgumentException if the text is not an id
   */
  public static ObjectId parse(String text) {
    int slash = text.indexOf('/');
    ObjectKind kind =
        ObjectKind.parse(text.substring(0, Math.max(slash, 0)))
            .orElseThrow(
                () ->
                    new IllegalArgumentException(
                        "the object \"" + text + "\": write kind and name, as pool/p"));
    return new ObjectId(kind, text.substring(slash + 1));
  }

  /**
   * Returns the path of the object in a configuration document.
   *
   * @return a JSON pointer
   */
  public JsonPath path() {
    return JsonPath.ROOT.child(kind.section()).child(name);
  }

  @Override
  public int compareTo(ObjectId other) {
    return ORDER.compare(this, other);
  }

  @Override
  public String toString() {
    return kind.slug() + "/" + name;
  }
}
