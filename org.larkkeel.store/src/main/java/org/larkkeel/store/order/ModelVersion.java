/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.store.order;

import org.larkkeel.lib.ModelName;

/**
 * A model with a version. Immutable.
 *
 * @param model the model, never null
 * @param version the version, empty for any version, never null
 * @since 0.1
 */
public record ModelVersion(ModelName model, String version) {
  /** The version of a model whose version is unspecified. */
  public static final String ANY = "";

  private static final char SEPARATOR = '@';

  /**
   * Parses {@code name} or {@code name@version}.
   *
   * @param text the text
   * @return the model and its version
   * @throws IllegalArgumentException if the name is not valid
   */
  public static ModelVersion parse(String text) {
    int i = text.indexOf(SEPARATOR);
    return i < 0
        ? new ModelVersion(new ModelName(text), ANY)
        : new ModelVersion(new ModelName(text.substring(0, i)), text.substring(i + 1));
  }

  /**
   * Returns whether this conforms to a required model and version.
   *
   * @param required the required model and version
   * @return true if the models are equal, and the required version is {@link #ANY} or equal
   */
  public boolean satisfies(ModelVersion required) {
    return model.equals(required.model)
        && (required.version.equals(ANY) || required.version.equals(version));
  }

  @Override
  public String toString() {
    return version.equals(ANY) ? model.value() : model.value() + SEPARATOR + version;
  }
}
