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

/** Prints differences as text. Stateless and safe for use by several threads. */
final class DiffPrinter {
  private DiffPrinter() {}

  /** Prints every object that differs, with all fields that differ. */
  static void print(Diff diff, PrintStream out) {
    diff.objects().forEach(object -> printObject(object, true, out));
  }

  /**
   * Prints every object that differs, with fields only for objects that both configurations
   * contain.
   */
  static void printSummary(Diff diff, PrintStream out) {
    diff.objects().forEach(object -> printObject(object, object.type() == Diff.Type.CHANGED, out));
  }

  private static void printObject(Diff.ObjectDiff object, boolean withFields, PrintStream out) {
    out.println(Messages.CHANGED_OBJECT.formatted(Slugs.of(object.type()), object.id()));
    if (withFields) {
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
