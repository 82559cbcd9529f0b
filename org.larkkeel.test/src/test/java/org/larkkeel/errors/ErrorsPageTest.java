/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.errors;

import static org.testng.Assert.assertEquals;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import org.testng.annotations.Test;

/**
 * Guards against differences between the documentation page of error kinds and the table in the
 * code.
 */
public class ErrorsPageTest {
  private static final Path PAGE = Path.of("..", "docs", "ERRORS.md");

  /** The table that callers and operators read. */
  public static class Table {
    @Test
    public void hasOneRowPerKindInOrder() throws IOException {
      List<String> rows =
          Files.readAllLines(PAGE).stream()
              .dropWhile(line -> !line.startsWith("| kind |"))
              .skip(2)
              .takeWhile(line -> line.startsWith("|"))
              .toList();
      assertEquals(rows, Arrays.stream(ErrorKind.values()).map(Table::row).toList());
    }

    private static String row(ErrorKind kind) {
      return String.format(
          "| `%s` | %d | %s | %s | %s | %s |",
          kind.slug(),
          kind.status(),
          Slugs.of(kind.execution()),
          Slugs.of(kind.repeat()),
          kind.title(),
          kind.remedy());
    }
  }
}
