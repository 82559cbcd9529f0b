/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.cli.command;

import com.google.common.collect.ImmutableList;
import java.util.Arrays;
import java.util.Optional;
import java.util.stream.Collectors;
import org.larkkeel.cli.errors.CommandFailure;
import org.larkkeel.cli.errors.ExitCode;
import org.larkkeel.cli.errors.Messages;
import org.larkkeel.config.Configuration;
import org.larkkeel.config.ConfigurationObject;
import org.larkkeel.config.ConfigurationObjects;
import org.larkkeel.config.NearestName;
import org.larkkeel.config.ObjectKind;
import org.larkkeel.selector.Selector;
import org.larkkeel.selector.SelectorSyntaxException;

/** Turns arguments into objects. Stateless and safe for use by several threads. */
final class Arguments {
  private Arguments() {}

  static ObjectKind kind(String text) {
    return ObjectKind.parse(text).orElseThrow(() -> unknownKind(text));
  }

  static CommandFailure unknownKind(String text) {
    String kinds =
        Arrays.stream(ObjectKind.values())
            .map(ObjectKind::section)
            .collect(Collectors.joining(", "));
    return new CommandFailure(ExitCode.USAGE, Messages.UNKNOWN_KIND.formatted(text, kinds));
  }

  static Selector selector(String text) {
    try {
      return Selector.parse(text);
    } catch (SelectorSyntaxException e) {
      throw new CommandFailure(ExitCode.USAGE, Messages.BAD_SELECTOR.formatted(e.getMessage()));
    }
  }

  /** The one object of that name. */
  static ConfigurationObject object(Configuration configuration, ObjectKind kind, String name) {
    for (ConfigurationObject object : ConfigurationObjects.of(configuration, kind)) {
      if (object.id().name().equals(name)) {
        return object;
      }
    }
    throw missing(configuration, kind, name);
  }

  /** The objects that a name or a selector chooses; with neither, all. At least one. */
  static ImmutableList<ConfigurationObject> objects(
      Configuration configuration,
      ObjectKind kind,
      Optional<String> name,
      Optional<String> labels) {
    if (name.isPresent()) {
      return ImmutableList.of(object(configuration, kind, name.get()));
    }
    Selector selector = selector(labels.orElse(""));
    ImmutableList<ConfigurationObject> chosen =
        ConfigurationObjects.of(configuration, kind).stream()
            .filter(object -> selector.matches(object.labels()))
            .collect(ImmutableList.toImmutableList());
    if (chosen.isEmpty() && labels.isPresent()) {
      throw new CommandFailure(
          ExitCode.NOT_FOUND,
          Messages.NO_MATCH.formatted(kind.section(), labels.get(), kind.section()));
    }
    return chosen;
  }

  private static CommandFailure missing(Configuration configuration, ObjectKind kind, String name) {
    ImmutableList<String> names =
        ConfigurationObjects.of(configuration, kind).stream()
            .map(object -> object.id().name())
            .collect(ImmutableList.toImmutableList());
    String remedy =
        NearestName.find(name, names)
            .map(Messages.DID_YOU_MEAN::formatted)
            .orElse(Messages.SEE_LIST.formatted(kind.section()));
    return new CommandFailure(
        ExitCode.NOT_FOUND, Messages.NO_OBJECT.formatted(kind.slug() + "/" + name, remedy));
  }
}
