/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.cli.output;

import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;

/**
 * A text table whose columns are as wide as their widest cell.
 *
 * <p>Not safe for use by several threads.
 *
 * @since 0.1
 */
public final class Table {
  private static final String COLUMN_SEPARATOR = "  ";
  private static final String EMPTY_CELL = "-";

  private final List<List<String>> rows = new ArrayList<>();

  /**
   * Creates a table without rows.
   *
   * @param header the titles of the columns
   */
  public Table(String... header) {
    rows.add(List.of(header));
  }

  /**
   * Adds a row.
   *
   * @param cells one value per column; an empty text is printed as {@code -}
   * @return this
   */
  public Table row(Object... cells) {
    List<String> row = new ArrayList<>();
    for (Object cell : cells) {
      String text = String.valueOf(cell);
      row.add(text.isEmpty() ? EMPTY_CELL : text);
    }
    rows.add(row);
    return this;
  }

  /**
   * Prints the table.
   *
   * @param out the stream to print to
   */
  public void print(PrintStream out) {
    int[] widths = new int[rows.getFirst().size()];
    for (List<String> row : rows) {
      for (int i = 0; i < widths.length; i++) {
        widths[i] = Math.max(widths[i], row.get(i).length());
      }
    }
    rows.forEach(row -> out.println(formatRow(row, widths)));
  }

  private static String formatRow(List<String> row, int[] widths) {
    StringBuilder line = new StringBuilder();
    for (int i = 0; i < widths.length; i++) {
      line.append(row.get(i))
          .append(" ".repeat(widths[i] - row.get(i).length()))
          .append(COLUMN_SEPARATOR);
    }
    return line.toString().stripTrailing();
  }
}
