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

/**
 * Converts arguments to kinds, selectors and objects; throws {@link CommandFailure} if one is
 * invalid. Stateless and safe for use by several threads.
 */
final class Arguments {
  private Arguments() {}

  static ObjectKind parseKind(String text) {
    return ObjectKind.parse(text).orElseThrow(() -> unknownKind(text));
  }

  static CommandFailure unknownKind(String text) {
    String kinds =
        Arrays.stream(ObjectKind.values())
            .map(ObjectKind::section)
            .collect(Collectors.joining(", "));
    return new CommandFailure(ExitCode.USAGE, Messages.UNKNOWN_KIND.formatted(text, kinds));
  }

  static Selector parseSelector(String text) {
    try {
      return Selector.parse(text);
    } catch (SelectorSyntaxException e) {
      throw new CommandFailure(ExitCode.USAGE, Messages.BAD_SELECTOR.formatted(e.getMessage()));
    }
  }

  /** Returns the object of that name; fails with {@link ExitCode#NOT_FOUND} if there is none. */
  static ConfigurationObject findObject(Configuration configuration, ObjectKind kind, String name) {
    for (ConfigurationObject object : ConfigurationObjects.ofKind(configuration, kind)) {
      if (object.id().name().equals(name)) {
        return object;
      }
    }
    throw objectNotFound(configuration, kind, name);
  }

  /**
   * Returns the objects that a name or a selector matches, or all if neither is given; fails with
   * {@link ExitCode#NOT_FOUND} if the name or selector matches none.
   */
  static ImmutableList<ConfigurationObject> selectObjects(
      Configuration configuration,
      ObjectKind kind,
      Optional<String> name,
      Optional<String> selectorText) {
    if (name.isPresent()) {
      return ImmutableList.of(findObject(configuration, kind, name.get()));
    }
    Selector selector = parseSelector(selectorText.orElse(""));
    ImmutableList<ConfigurationObject> selected =
        ConfigurationObjects.ofKind(configuration, kind).stream()
            .filter(object -> selector.matches(object.labels()))
            .collect(ImmutableList.toImmutableList());
    if (selected.isEmpty() && selectorText.isPresent()) {
      throw new CommandFailure(
          ExitCode.NOT_FOUND,
          Messages.NO_MATCH.formatted(kind.section(), selectorText.get(), kind.section()));
    }
    return selected;
  }

  private static CommandFailure objectNotFound(
      Configuration configuration, ObjectKind kind, String name) {
    ImmutableList<String> names =
        ConfigurationObjects.ofKind(configuration, kind).stream()
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
