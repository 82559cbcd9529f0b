/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.config;

import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import com.google.common.collect.ImmutableSortedMap;
import java.util.Arrays;
import java.util.Optional;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.larkkeel.errors.Slugs;
import org.larkkeel.lib.Labels;
import org.larkkeel.lib.Names;
import org.larkkeel.selector.Selector;
import org.larkkeel.selector.SelectorSyntaxException;

/**
 * Reads the members of one JSON object and gathers every problem on the way; a faulty member gives
 * its default, so that reading goes on.
 *
 * <p>Not safe for use by several threads.
 *
 * @since 0.1
 */
public final class FieldReader {
  private static final String REQUIRED = "the key is missing";
  private static final String NAME_REMEDY =
      "use letters, digits and . _ / -, beginning and ending with a letter or a digit";

  private final Located.Fields fields;
  private final JsonPath path;
  private final ProblemCollector problems;

  private FieldReader(Located.Fields fields, JsonPath path, ProblemCollector problems) {
    this.fields = fields;
    this.path = path;
    this.problems = problems;
  }

  /**
   * Reads a document of JSON with comments that must be an object.
   *
   * @param text the document
   * @param known the keys that it may have; others are reported
   * @param problems takes every problem
   * @return a reader of its members; empty after a syntax error
   */
  public static Optional<FieldReader> document(
      String text, ImmutableSet<String> known, ProblemCollector problems) {
    return new LocatedParser(problems)
        .parse(text)
        .map(root -> open(root, JsonPath.ROOT, known, problems));
  }

  /** Opens a value that must be an object and reports keys other than the known. */
  static FieldReader open(
      Located value, JsonPath path, ImmutableSet<String> known, ProblemCollector problems) {
    FieldReader reader = of(value, path, problems);
    reader.fields.values().forEach((key, field) -> reader.checkKnown(key, field, known));
    return reader;
  }

  private static FieldReader of(Located value, JsonPath path, ProblemCollector problems) {
    if (value instanceof Located.Fields fields) {
      return new FieldReader(fields, path, problems);
    }
    wrongType(problems, value, path, "an object");
    return new FieldReader(new Located.Fields(value.at(), ImmutableMap.of()), path, problems);
  }

  private void checkKnown(String key, Located.Field field, ImmutableSet<String> known) {
    if (known.contains(key)) {
      return;
    }
    String remedy =
        NearestName.find(key, known)
            .map(nearest -> "did you mean \"" + nearest + "\"?")
            .orElse("use one of " + String.join(", ", known));
    problems.unknownKey(field.keyAt(), path.child(key), remedy);
  }

  JsonPath path() {
    return path;
  }

  /**
   * Opens a member that is an object; a missing one is empty.
   *
   * @param key the key
   * @param known the keys that it may have; others are reported
   * @return a reader of its members
   */
  public FieldReader child(String key, ImmutableSet<String> known) {
    return open(member(key).orElse(empty()), path.child(key), known, problems);
  }

  private Located empty() {
    return new Located.Fields(fields.at(), ImmutableMap.of());
  }

  Optional<Located> member(String key) {
    return Optional.ofNullable(fields.values().get(key)).map(Located.Field::value);
  }

  /** The members of the object whose keys are names; others are reported and left out. */
  ImmutableMap<String, Located> named(String key) {
    FieldReader section = of(member(key).orElse(empty()), path.child(key), problems);
    ImmutableMap.Builder<String, Located> named = ImmutableMap.builder();
    section.fields.values().forEach((name, field) -> section.addNamed(name, field, named));
    return named.buildOrThrow();
  }

  /**
   * Opens the members of a member that maps names to objects.
   *
   * @param key the key
   * @param known the keys that each of the objects may have; others are reported
   * @return readers by name; names that are not valid are reported and left out
   */
  public ImmutableMap<String, FieldReader> children(String key, ImmutableSet<String> known) {
    ImmutableMap.Builder<String, FieldReader> children = ImmutableMap.builder();
    JsonPath at = path.child(key);
    named(key)
        .forEach((name, value) -> children.put(name, open(value, at.child(name), known, problems)));
    return children.buildOrThrow();
  }

  private void addNamed(
      String name, Located.Field field, ImmutableMap.Builder<String, Located> named) {
    if (Names.isValid(name)) {
      named.put(name, field.value());
    } else {
      problems.error(
          field.keyAt(), path.child(name), '"' + name + '"', "not a valid name", NAME_REMEDY);
    }
  }

  /**
   * Reads a string.
   *
   * @param key the key
   * @return the value; empty if it is missing or faulty
   */
  public Optional<String> text(String key) {
    return member(key).flatMap(value -> text(value, path.child(key)));
  }

  private Optional<String> text(Located value, JsonPath at) {
    if (value instanceof Located.Text text) {
      return Optional.of(text.value());
    }
    wrongType(problems, value, at, "a string");
    return Optional.empty();
  }

  /**
   * Reads a string that must be there.
   *
   * @param key the key
   * @param remedy what to write if it is missing
   * @return the value; empty if it is missing or faulty
   */
  public Optional<String> requiredText(String key, String remedy) {
    if (member(key).isEmpty()) {
      missing(key, remedy);
    }
    return text(key);
  }

  /**
   * Reads a string that a parser refuses with {@link IllegalArgumentException}.
   *
   * @param key the key
   * @param parser the parser
   * @param remedy what to write if it is refused
   * @param <T> the type of the value
   * @return the value; empty if it is missing or faulty
   */
  public <T> Optional<T> parsed(String key, Function<String, T> parser, String remedy) {
    return text(key).flatMap(text -> parse(text, key, parser, remedy));
  }

  private <T> Optional<T> parse(
      String text, String key, Function<String, T> parser, String remedy) {
    try {
      return Optional.of(parser.apply(text));
    } catch (IllegalArgumentException e) {
      report(key, "not accepted", remedy);
      return Optional.empty();
    }
  }

  /**
   * Reads a whole number.
   *
   * @param key the key
   * @param min the least accepted
   * @param max the greatest accepted
   * @param absent the value if it is missing or faulty
   * @return the value
   */
  public long whole(String key, long min, long max, long absent) {
    Optional<Located> value = member(key);
    if (value.isEmpty()) {
      return absent;
    }
    if (!(value.get() instanceof Located.Whole whole)) {
      wrongType(problems, value.get(), path.child(key), "a whole number");
      return absent;
    }
    if (whole.value() < min || whole.value() > max) {
      report(key, "out of range", "use " + min + " to " + max);
      return absent;
    }
    return whole.value();
  }

  /**
   * Reads one of the choices of an enum, written in lower case with hyphens.
   *
   * @param key the key
   * @param type the enum
   * @param absent the value if it is missing or faulty
   * @param <E> the enum
   * @return the value
   */
  public <E extends Enum<E>> E choice(String key, Class<E> type, E absent) {
    return text(key).flatMap(text -> choose(key, text, type)).orElse(absent);
  }

  <E extends Enum<E>> Optional<E> requiredChoice(String key, Class<E> type) {
    Optional<String> text = requiredText(key, "use one of " + slugs(type));
    return text.flatMap(t -> choose(key, t, type));
  }

  private <E extends Enum<E>> Optional<E> choose(String key, String text, Class<E> type) {
    Optional<E> chosen =
        Arrays.stream(type.getEnumConstants()).filter(e -> Slugs.of(e).equals(text)).findFirst();
    if (chosen.isEmpty()) {
      report(key, "not one of the choices", "use one of " + slugs(type));
    }
    return chosen;
  }

  private static <E extends Enum<E>> String slugs(Class<E> type) {
    return Arrays.stream(type.getEnumConstants()).map(Slugs::of).collect(Collectors.joining(", "));
  }

  Labels labels(String key) {
    ImmutableSortedMap.Builder<String, String> labels = ImmutableSortedMap.naturalOrder();
    named(key).forEach((name, value) -> addLabel(path.child(key).child(name), name, value, labels));
    return new Labels(labels.buildOrThrow());
  }

  private void addLabel(
      JsonPath at, String name, Located value, ImmutableSortedMap.Builder<String, String> labels) {
    Optional<String> text = text(value, at);
    if (text.isEmpty()) {
      return;
    }
    if (text.get().isEmpty() || Names.isValid(text.get())) {
      labels.put(name, text.get());
    } else {
      problems.error(value.at(), at, value.show(), "not a valid label value", NAME_REMEDY);
    }
  }

  Selector selector(String key) {
    return selectorText(key, text(key));
  }

  /** A selector that has to be written; an empty text chooses everything. */
  Selector requiredSelector(String key) {
    return selectorText(key, requiredText(key, "write a selector such as \"role=decode\""));
  }

  private Selector selectorText(String key, Optional<String> text) {
    try {
      return Selector.parse(text.orElse(""));
    } catch (SelectorSyntaxException e) {
      Located value = member(key).orElseThrow();
      Position at = value.at().plus(1 + e.position());
      problems.error(
          at,
          path.child(key),
          value.show(),
          "bad selector at character " + (e.position() + 1),
          "write " + e.expected() + " there");
      return Selector.ALL;
    }
  }

  /** An array of names without repetition. */
  ImmutableSet<String> names(String key) {
    ImmutableSet.Builder<String> names = ImmutableSet.builder();
    ImmutableMap<JsonPath, Located> items = items(key);
    items.forEach((at, item) -> text(item, at).ifPresent(t -> addName(at, item, t, names)));
    return names.build();
  }

  private void addName(JsonPath at, Located item, String text, ImmutableSet.Builder<String> names) {
    if (!Names.isValid(text)) {
      problems.error(item.at(), at, item.show(), "not a valid name", NAME_REMEDY);
    } else if (names.build().contains(text)) {
      problems.error(item.at(), at, item.show(), "the name stands twice", "remove one of the two");
    } else {
      names.add(text);
    }
  }

  /** The items of an array by their place; a missing one is empty. */
  ImmutableMap<JsonPath, Located> items(String key) {
    Optional<Located> value = member(key);
    JsonPath at = path.child(key);
    if (value.isEmpty()) {
      return ImmutableMap.of();
    }
    if (!(value.get() instanceof Located.Items items)) {
      wrongType(problems, value.get(), at, "an array");
      return ImmutableMap.of();
    }
    ImmutableMap.Builder<JsonPath, Located> byPath = ImmutableMap.builder();
    for (int i = 0; i < items.values().size(); i++) {
      byPath.put(at.item(i), items.values().get(i));
    }
    return byPath.buildOrThrow();
  }

  /**
   * Reports a member that is missing.
   *
   * @param key the key
   * @param remedy what to write
   */
  public void missing(String key, String remedy) {
    problems.error(fields.at(), path.child(key), "", REQUIRED, remedy);
  }

  /**
   * Reports a member that is there.
   *
   * @param key the key
   * @param message what is wrong
   * @param remedy what to write instead
   */
  public void report(String key, String message, String remedy) {
    Located value = member(key).orElse(fields);
    problems.error(value.at(), path.child(key), value.show(), message, remedy);
  }

  private static void wrongType(
      ProblemCollector problems, Located value, JsonPath path, String expected) {
    problems.error(
        value.at(), path, value.show(), "the value is " + value.type(), "write " + expected);
  }
}
