/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.cli.command;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSortedMap;
import com.google.common.collect.ImmutableSortedSet;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.TreeSet;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.Option;
import org.larkkeel.cli.errors.CommandFailure;
import org.larkkeel.cli.errors.ExitCode;
import org.larkkeel.cli.errors.Messages;
import org.larkkeel.config.Configuration;
import org.larkkeel.config.ObjectKind;
import org.larkkeel.lib.Names;

/** Sets and removes labels. */
@CommandInfo(
    name = "label",
    summary =
        "Sets and removes labels of one object, or of all that a selector matches, as one change.",
    example = "larkkeel label upstreams -l gen=old tier=batch canary-")
final class LabelCommand extends ChangeCommand {
  @Argument(
      index = 0,
      metaVar = "KIND",
      required = true,
      usage = "upstreams, pools, rules or workspaces")
  private String kind;

  @Argument(
      index = 1,
      metaVar = "[NAME] KEY=VALUE KEY-",
      multiValued = true,
      usage = "the name, unless -l is given; then labels to set (KEY=VALUE) and to remove (KEY-)")
  private List<String> words = new ArrayList<>();

  @Option(
      name = "-l",
      aliases = "--selector",
      metaVar = "SELECTOR",
      usage = "label all objects whose labels it matches")
  private String selector;

  @Override
  protected ExitCode run() {
    ObjectKind objectKind = Arguments.parseKind(kind);
    Optional<String> name = nameArgument();
    LabelChange change = parseLabelChange(words.subList(name.isPresent() ? 1 : 0, words.size()));
    Configuration current = client().configuration();
    return propose(
        current.revision(),
        Arguments.selectObjects(current, objectKind, name, Optional.ofNullable(selector)).stream()
            .flatMap(object -> change.operationFor(object).stream())
            .collect(ImmutableList.toImmutableList()));
  }

  private Optional<String> nameArgument() {
    if (selector != null) {
      return Optional.empty();
    }
    if (words.isEmpty() || words.getFirst().contains("=")) {
      throw new CommandFailure(ExitCode.USAGE, Messages.NAME_OR_SELECTOR);
    }
    return Optional.of(words.getFirst());
  }

  private static LabelChange parseLabelChange(List<String> texts) {
    if (texts.isEmpty()) {
      throw new CommandFailure(ExitCode.USAGE, Messages.NO_LABELS);
    }
    Map<String, String> set = new TreeMap<>();
    TreeSet<String> remove = new TreeSet<>();
    for (String text : texts) {
      int separator = text.indexOf('=');
      if (separator > 0
          && isValidLabel(text.substring(0, separator), text.substring(separator + 1))) {
        set.put(text.substring(0, separator), text.substring(separator + 1));
      } else if (text.endsWith("-") && Names.isValid(text.substring(0, text.length() - 1))) {
        remove.add(text.substring(0, text.length() - 1));
      } else {
        throw new CommandFailure(ExitCode.USAGE, Messages.BAD_LABEL.formatted(text));
      }
    }
    return new LabelChange(ImmutableSortedMap.copyOf(set), ImmutableSortedSet.copyOf(remove));
  }

  private static boolean isValidLabel(String key, String value) {
    return Names.isValid(key) && (value.isEmpty() || Names.isValid(value));
  }
}
