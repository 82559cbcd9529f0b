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

  /** Every field of every object that differs. */
  static void print(Diff diff, PrintStream out) {
    diff.objects().forEach(object -> printObject(object, true, out));
  }

  /** Every object that differs, and the fields of those that are in both configurations. */
  static void printBriefly(Diff diff, PrintStream out) {
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
