/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.cli.command;

import org.kohsuke.args4j.Option;
import org.larkkeel.cli.errors.CommandFailure;
import org.larkkeel.cli.errors.ExitCode;
import org.larkkeel.cli.errors.Messages;
import org.larkkeel.cli.output.Table;
import org.larkkeel.http.operator.QuarantineStatus;
import org.larkkeel.lib.Fingerprint;

/** Lists the requests that are suspected of crashing upstreams, or releases one from quarantine. */
@CommandInfo(
    name = "quarantine",
    summary =
        "Lists the requests and parts of prompts under which upstreams ended, or releases one on"
            + " all nodes; --server is the metrics address of a relay node.",
    example = "larkkeel quarantine --server 10.0.0.1:7660")
final class QuarantineCommand extends Command {
  private static final long MILLIS_PER_SECOND = 1_000;

  @Option(
      name = "--release",
      metaVar = "REQUEST",
      usage = "let this request, or those with this part, be sent again, as upstreams were mended")
  private String release;

  @Override
  protected ExitCode run() {
    QuarantineStatus status =
        release == null ? client().quarantine() : client().release(parseFingerprint(release));
    print(status, () -> toTable(status).print(out()));
    return ExitCode.OK;
  }

  private static Fingerprint parseFingerprint(String text) {
    try {
      return Fingerprint.parse(text);
    } catch (IllegalArgumentException e) {
      throw new CommandFailure(ExitCode.USAGE, Messages.BAD_FINGERPRINT.formatted(text));
    }
  }

  private static Table toTable(QuarantineStatus status) {
    Table table =
        new Table("REQUEST OR PART", "KIND", "ENDS", "SECONDS LEFT", "LAST END", "UPSTREAMS");
    for (QuarantineStatus.Entry entry : status.requests()) {
      table.row(
          entry.request(),
          entry.scope(),
          entry.upstreams().size(),
          entry.remainingMillis() / MILLIS_PER_SECOND,
          entry.lastEndMillis() / MILLIS_PER_SECOND + " s ago",
          String.join(", ", entry.upstreams()));
    }
    return table;
  }
}
