/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.daemon;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Optional;
import java.util.function.Supplier;

/**
 * Supplies a bearer token that is read from its file on each call, so that the file may be
 * replaced. Safe for use by several threads.
 */
final class TokenFile implements Supplier<Optional<String>> {
  private final Optional<Path> file;

  TokenFile(Optional<Path> file) {
    this.file = file;
  }

  @Override
  public Optional<String> get() {
    return file.map(TokenFile::read);
  }

  private static String read(Path path) {
    try {
      return Files.readString(path).strip();
    } catch (IOException e) {
      throw new UncheckedIOException("the token file " + path + " cannot be read", e);
    }
  }

  @Override
  public String toString() {
    return "TokenFile[hidden]";
  }
}
