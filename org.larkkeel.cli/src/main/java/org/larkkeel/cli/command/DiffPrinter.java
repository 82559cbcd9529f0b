/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.cli.command;

import java.io.PrintStream;
import org.larkkeel.cli.errors.Messages;
import org.larkkeel.config.Diff;
import org.larkkeel.errors.Slugs;

/** Prints differences for people. Stateless and safe for use by several threads. */
final class DiffPrinter {
  private DiffPrinter() {}

  static void print(Diff diff, PrintStream out) {
    for (Diff.ObjectDiff object : diff.objects()) {
      out.println(Messages.CHANGED_OBJECT.formatted(Slugs.of(object.type()), object.id()));
      for (Diff.FieldDiff field : object.fields()) {
        out.println(
            Messages.CHANGED_FIELD.formatted(
                field.path(),
                field.before().orElse(Messages.NO_VALUE),
                field.after().orElse(Messages.NO_VALUE)));
      }
    }
  }
}
