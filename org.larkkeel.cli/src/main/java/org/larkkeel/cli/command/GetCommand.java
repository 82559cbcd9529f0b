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
  private static final String ALL_KINDS = "all";

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
        kind.equals(ALL_KINDS)
            ? ImmutableList.copyOf(ObjectKind.values())
            : ImmutableList.of(Arguments.parseKind(kind));
    Configuration current = client().configuration();
    ConfigurationBuilder selection =
        new ConfigurationBuilder(Configuration.EMPTY.withRevision(current.revision()));
    for (ObjectKind objectKind : kinds) {
      selectObjects(current, objectKind).forEach(selection::put);
    }
    Configuration selected = selection.build();
    if (isJson()) {
      out().print(ConfigurationDocument.write(selected));
    } else {
      kinds.forEach(objectKind -> ObjectTables.print(selected, current, objectKind, out()));
    }
    return ExitCode.OK;
  }

  private ImmutableList<ConfigurationObject> selectObjects(
      Configuration current, ObjectKind objectKind) {
    return Arguments.selectObjects(
        current, objectKind, Optional.ofNullable(name), Optional.ofNullable(selector));
  }
}
