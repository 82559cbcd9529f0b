/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.cli.command;

import com.google.common.collect.ImmutableList;
import java.util.Optional;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.Option;
import org.larkkeel.cli.errors.ExitCode;
import org.larkkeel.config.Configuration;
import org.larkkeel.config.ConfigurationBuilder;
import org.larkkeel.config.ConfigurationDocument;
import org.larkkeel.config.ConfigurationObject;
import org.larkkeel.config.ObjectKind;

/** Lists objects. */
@CommandInfo(
    name = "get",
    summary =
        "Lists objects. With -o json the output is a document that apply takes; it names the"
            + " revision that it was read at.",
    example = "larkkeel get upstreams -l \"gen in (old, new), role=decode\"")
final class GetCommand extends Command {
  private static final String ALL = "all";

  @Argument(
      index = 0,
      metaVar = "KIND",
      required = true,
      usage = "upstreams, pools, rules, workspaces or all")
  private String kind;

  @Argument(index = 1, metaVar = "NAME", usage = "the name of one object")
  private String name;

  @Option(
      name = "-l",
      aliases = "--selector",
      metaVar = "SELECTOR",
      usage = "only objects whose labels it matches")
  private String selector;

  @Override
  protected ExitCode run() {
    ImmutableList<ObjectKind> kinds =
        kind.equals(ALL)
            ? ImmutableList.copyOf(ObjectKind.values())
            : ImmutableList.of(Arguments.kind(kind));
    Configuration present = client().configuration();
    ConfigurationBuilder chosen =
        new ConfigurationBuilder(Configuration.EMPTY.withRevision(present.revision()));
    for (ObjectKind each : kinds) {
      objects(present, each).forEach(chosen::put);
    }
    Configuration selected = chosen.build();
    if (isJson()) {
      out().print(ConfigurationDocument.write(selected));
    } else {
      kinds.forEach(each -> ObjectTables.print(selected, present, each, out()));
    }
    return ExitCode.OK;
  }

  private ImmutableList<ConfigurationObject> objects(Configuration present, ObjectKind each) {
    return Arguments.objects(
        present, each, Optional.ofNullable(name), Optional.ofNullable(selector));
  }
}
