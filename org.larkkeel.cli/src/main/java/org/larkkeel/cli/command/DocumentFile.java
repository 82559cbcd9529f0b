/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.cli.command;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import org.larkkeel.cli.errors.CommandFailure;
import org.larkkeel.cli.errors.ExitCode;
import org.larkkeel.cli.errors.Messages;
import org.larkkeel.config.Configuration;
import org.larkkeel.config.ConfigurationBuilder;
import org.larkkeel.config.ConfigurationDocument;
import org.larkkeel.config.ConfigurationObjects;
import org.larkkeel.config.ObjectId;

/** Reads the document that {@code -f} names. Stateless and safe for use by several threads. */
final class DocumentFile {
  private static final String STANDARD_INPUT = "-";
  private static final String STANDARD_INPUT_SOURCE = "stdin";

  private DocumentFile() {}

  static ConfigurationDocument read(String file, Environment environment) {
    try {
      return file.equals(STANDARD_INPUT)
          ? ConfigurationDocument.parse(
              STANDARD_INPUT_SOURCE,
              new String(environment.in().readAllBytes(), StandardCharsets.UTF_8))
          : ConfigurationDocument.parse(file, Files.readString(Path.of(file)));
    } catch (IOException e) {
      throw new CommandFailure(ExitCode.USAGE, Messages.UNREADABLE.formatted(file, e.getMessage()));
    }
  }

  /**
   * Adds or replaces the objects of a document in a copy of a configuration; pruning removes all
   * others.
   */
  static Configuration merge(Configuration current, Configuration document, boolean prune) {
    ConfigurationBuilder merged = new ConfigurationBuilder(current);
    if (prune) {
      for (ObjectId id : ConfigurationObjects.all(current).keySet()) {
        merged.remove(id);
      }
    }
    ConfigurationObjects.all(document).values().forEach(merged::put);
    return merged.build();
  }
}
