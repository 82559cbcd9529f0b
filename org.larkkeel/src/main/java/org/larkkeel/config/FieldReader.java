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
 * Reads the members of a JSON object and collects all problems. An invalid member is read as its
 * default, so that reading continues and finds further problems.
 *
 * <p>Not safe for use by several threads.
 *
 * @since 0.1
 */
public final class FieldReader {
  private static final String MISSING_KEY = "the key is missing";
  private static final String NAME_REMEDY =
      "use letters, digits and . _ / -, beginning and ending with a letter or a digit";

  private final LocatedValue.ObjectValue object;
  private final JsonPath path;
  private final ProblemCollector problems;

  private FieldReader(LocatedValue.ObjectValue object, JsonPath path, ProblemCollector problems) {
    this.object = object;
    this.path = path;
    this.problems = problems;
  }

  /**
   * Parses a document of JSON with comments whose root must be an object.
   *
   * @param text the document
   * @param knownKeys the allowed keys; others are reported
   * @param problems collects the problems
   * @return a reader of the root's members; empty after a syntax error
   */
  public static Optional<FieldReader> document(
      String text, ImmutableSet<String> knownKeys, ProblemCollector problems) {
    return new LocatedValueParser(problems)
        .parse(text)
        .map(root -> open(root, JsonPath.ROOT, knownKeys, problems));
  }

  /** Creates a reader of a value that must be an object, and reports unknown keys. */
  static FieldReader open(
      LocatedValue value,
      JsonPath path,
      ImmutableSet<String> knownKeys,
      ProblemCollector problems) {
    FieldReader reader = ofValue(value, path, problems);
    reader
        .object
        .members()
        .forEach((key, member) -> reader.checkKeyIsKnown(key, member, knownKeys));
    return reader;
  }

  private static FieldReader ofValue(LocatedValue value, JsonPath path, ProblemCollector problems) {
    if (value instanceof LocatedValue.ObjectValue objectValue) {
      return new FieldReader(objectValue, path, problems);
    }
    reportWrongType(problems, value, path, "an object");
    return new FieldReader(
        new LocatedValue.ObjectValue(value.position(), ImmutableMap.of()), path, problems);
  }

  private void checkKeyIsKnown(
      String key, LocatedValue.Member member, ImmutableSet<String> knownKeys) {
    if (knownKeys.contains(key)) {
      return;
    }
    String remedy =
        NearestName.find(key, knownKeys)
            .map(nearest -> "did you mean \"" + nearest + "\"?")
            .orElse("use one of " + String.join(", ", knownKeys));
    problems.addUnknownKey(member.keyPosition(), path.child(key), remedy);
  }

  JsonPath path() {
    return path;
  }

  /**
   * Opens a member that must be an object. A missing member is read as an empty object.
   *
   * @param key the key
   * @param knownKeys the allowed keys; others are reported
   * @return a reader of its members
   */
  public FieldReader child(String key, ImmutableSet<String> knownKeys) {
    return open(member(key).orElse(emptyObject()), path.child(key), knownKeys, problems);
  }

  private LocatedValue emptyObject() {
    return new LocatedValue.ObjectValue(object.position(), ImmutableMap.of());
  }

  Optional<LocatedValue> member(String key) {
    return Optional.ofNullable(object.members().get(key)).map(LocatedValue.Member::value);
  }

  /**
   * Returns the values of a member that maps names to values. Invalid names are reported and left
   * out.
   */
  ImmutableMap<String, LocatedValue> namedMembers(String key) {
    FieldReader section = ofValue(member(key).orElse(emptyObject()), path.child(key), problems);
    ImmutableMap.Builder<String, LocatedValue> named = ImmutableMap.builder();
    section.object.members().forEach((name, member) -> section.addNamedMember(name, member, named));
    return named.buildOrThrow();
  }

  /**
   * Opens a member that maps names to objects.
   *
   * @param key the key
   * @param knownKeys the keys allowed in each object; others are reported
   * @return readers by name; invalid names are reported and left out
   */
  public ImmutableMap<String, FieldReader> children(String key, ImmutableSet<String> knownKeys) {
    ImmutableMap.Builder<String, FieldReader> children = ImmutableMap.builder();
    JsonPath sectionPath = path.child(key);
    namedMembers(key)
        .forEach(
            (name, value) ->
                children.put(name, open(value, sectionPath.child(name), knownKeys, problems)));
    return children.buildOrThrow();
  }

  private void addNamedMember(
      String name, LocatedValue.Member member, ImmutableMap.Builder<String, LocatedValue> named) {
    if (Names.isValid(name)) {
      named.put(name, member.value());
    } else {
      problems.addError(
          member.keyPosition(),
          path.child(name),
          '"' + name + '"',
          "not a valid name",
          NAME_REMEDY);
    }
  }

  /**
   * Reads a string.
   *
   * @param key the key
   * @return the value; empty if it is missing or invalid
   */
  public Optional<String> text(String key) {
    return member(key).flatMap(value -> text(value, path.child(key)));
  }

  private Optional<String> text(LocatedValue value, JsonPath valuePath) {
    if (value instanceof LocatedValue.Text text) {
      return Optional.of(text.value());
    }
    reportWrongType(problems, value, valuePath, "a string");
    return Optional.empty();
  }

  /**
   * Reads a required string.
   *
   * @param key the key
   * @param remedy what to write, reported if the member is missing
   * @return the value; empty if it is missing or invalid
   */
  public Optional<String> requiredText(String key, String remedy) {
    if (member(key).isEmpty()) {
      reportMissing(key, remedy);
    }
    return text(key);
  }

  /**
   * Reads a string and converts it with a parser that throws {@link IllegalArgumentException} if
   * the text is invalid.
   *
   * @param key the key
   * @param parser the parser
   * @param remedy what to write, reported if the text is invalid
   * @param <T> the type of the value
   * @return the value; empty if it is missing or invalid
   */
  public <T> Optional<T> parsed(String key, Function<String, T> parser, String remedy) {
    return text(key).flatMap(text -> parse(text, key, parser, remedy));
  }

  private <T> Optional<T> parse(
      String text, String key, Function<String, T> parser, String remedy) {
    try {
      return Optional.of(parser.apply(text));
    } catch (IllegalArgumentException e) {
      reportError(key, "not accepted", remedy);
      return Optional.empty();
    }
  }

  /**
   * Reads a whole number.
   *
   * @param key the key
   * @param min the minimum
   * @param max the maximum
   * @param defaultValue the value if the member is missing or invalid
   * @return the value
   */
  public long wholeNumber(String key, long min, long max, long defaultValue) {
    Optional<LocatedValue> value = member(key);
    if (value.isEmpty()) {
      return defaultValue;
    }
    if (!(value.get() instanceof LocatedValue.WholeNumber number)) {
      reportWrongType(problems, value.get(), path.child(key), "a whole number");
      return defaultValue;
    }
    if (number.value() < min || number.value() > max) {
      reportError(key, "out of range", "use " + min + " to " + max);
      return defaultValue;
    }
    return number.value();
  }

  /**
   * Reads an enum constant, written in lower case with hyphens.
   *
   * @param key the key
   * @param type the class of the enum
   * @param defaultValue the value if the member is missing or invalid
   * @param <E> the type of the enum
   * @return the value
   */
  public <E extends Enum<E>> E choice(String key, Class<E> type, E defaultValue) {
    return text(key).flatMap(text -> parseChoice(key, text, type)).orElse(defaultValue);
  }

  <E extends Enum<E>> Optional<E> requiredChoice(String key, Class<E> type) {
    Optional<String> text = requiredText(key, "use one of " + slugs(type));
    return text.flatMap(t -> parseChoice(key, t, type));
  }

  private <E extends Enum<E>> Optional<E> parseChoice(String key, String text, Class<E> type) {
    Optional<E> constant =
        Arrays.stream(type.getEnumConstants()).filter(e -> Slugs.of(e).equals(text)).findFirst();
    if (constant.isEmpty()) {
      reportError(key, "not one of the choices", "use one of " + slugs(type));
    }
    return constant;
  }

  private static <E extends Enum<E>> String slugs(Class<E> type) {
    return Arrays.stream(type.getEnumConstants()).map(Slugs::of).collect(Collectors.joining(", "));
  }

  Labels labels(String key) {
    ImmutableSortedMap.Builder<String, String> labels = ImmutableSortedMap.naturalOrder();
    namedMembers(key)
        .forEach((name, value) -> addLabel(path.child(key).child(name), name, value, labels));
    return new Labels(labels.buildOrThrow());
  }

  private void addLabel(
      JsonPath labelPath,
      String name,
      LocatedValue value,
      ImmutableSortedMap.Builder<String, String> labels) {
    Optional<String> text = text(value, labelPath);
    if (text.isEmpty()) {
      return;
    }
    if (text.get().isEmpty() || Names.isValid(text.get())) {
      labels.put(name, text.get());
    } else {
      problems.addError(
          value.position(), labelPath, value.displayText(), "not a valid label value", NAME_REMEDY);
    }
  }

  Selector selector(String key) {
    return parseSelector(key, text(key));
  }

  /** Reads a required selector; an empty text matches everything. */
  Selector requiredSelector(String key) {
    return parseSelector(key, requiredText(key, "write a selector such as \"role=decode\""));
  }

  private Selector parseSelector(String key, Optional<String> text) {
    try {
      return Selector.parse(text.orElse(""));
    } catch (SelectorSyntaxException e) {
      LocatedValue value = member(key).orElseThrow();
      Position position = value.position().plus(1 + e.position());
      problems.addError(
          position,
          path.child(key),
          value.displayText(),
          "bad selector at character " + (e.position() + 1),
          "write " + e.expected() + " there");
      return Selector.ALL;
    }
  }

  /** Reads an array of distinct names; invalid and repeated names are reported and left out. */
  ImmutableSet<String> names(String key) {
    ImmutableSet.Builder<String> names = ImmutableSet.builder();
    ImmutableMap<JsonPath, LocatedValue> items = items(key);
    items.forEach(
        (itemPath, item) -> text(item, itemPath).ifPresent(t -> addName(itemPath, item, t, names)));
    return names.build();
  }

  private void addName(
      JsonPath itemPath, LocatedValue item, String text, ImmutableSet.Builder<String> names) {
    if (!Names.isValid(text)) {
      problems.addError(
          item.position(), itemPath, item.displayText(), "not a valid name", NAME_REMEDY);
    } else if (names.build().contains(text)) {
      problems.addError(
          item.position(),
          itemPath,
          item.displayText(),
          "the name stands twice",
          "remove one of the two");
    } else {
      names.add(text);
    }
  }

  /** Returns the items of an array by their path; empty if the member is missing. */
  ImmutableMap<JsonPath, LocatedValue> items(String key) {
    Optional<LocatedValue> value = member(key);
    JsonPath arrayPath = path.child(key);
    if (value.isEmpty()) {
      return ImmutableMap.of();
    }
    if (!(value.get() instanceof LocatedValue.ArrayValue array)) {
      reportWrongType(problems, value.get(), arrayPath, "an array");
      return ImmutableMap.of();
    }
    ImmutableMap.Builder<JsonPath, LocatedValue> byPath = ImmutableMap.builder();
    for (int i = 0; i < array.items().size(); i++) {
      byPath.put(arrayPath.item(i), array.items().get(i));
    }
    return byPath.buildOrThrow();
  }

  /**
   * Reports a missing member.
   *
   * @param key the key
   * @param remedy what to write
   */
  public void reportMissing(String key, String remedy) {
    problems.addError(object.position(), path.child(key), "", MISSING_KEY, remedy);
  }

  /**
   * Reports an error in the value of a member.
   *
   * @param key the key
   * @param message what is wrong
   * @param remedy what to write instead
   */
  public void reportError(String key, String message, String remedy) {
    LocatedValue value = member(key).orElse(object);
    problems.addError(value.position(), path.child(key), value.displayText(), message, remedy);
  }

  private static void reportWrongType(
      ProblemCollector problems, LocatedValue value, JsonPath path, String expected) {
    problems.addError(
        value.position(),
        path,
        value.displayText(),
        "the value is " + value.typeName(),
        "write " + expected);
  }
}
