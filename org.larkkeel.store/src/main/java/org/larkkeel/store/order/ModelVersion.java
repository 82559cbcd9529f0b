/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.store.order;

import org.larkkeel.lib.ModelName;

/**
 * A model in one version. Immutable.
 *
 * @param model the model, never null
 * @param version the version, empty for whichever there is
 * @since 0.1
 */
public record ModelVersion(ModelName model, String version) {
  /** The version of a model whose version nobody names. */
  public static final String ANY = "";

  private static final char SEPARATOR = '@';

  /**
   * Reads {@code name} or {@code name@version}.
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
   * Tells whether this is what another one asks for.
   *
   * @param wanted the model and version asked for
   * @return true if the models are the same, and the versions if one is asked for
   */
  public boolean satisfies(ModelVersion wanted) {
    return model.equals(wanted.model)
        && (wanted.version.equals(ANY) || wanted.version.equals(version));
  }

  @Override
  public String toString() {
    return version.equals(ANY) ? model.value() : model.value() + SEPARATOR + version;
  }
}
