/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.config;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import java.util.Optional;
import org.larkkeel.lib.Revision;

/**
 * A parsed configuration document: JSON with comments and trailing commas.
 *
 * <p>Parsing reports all problems at once, each with its position in the text. Immutable and safe
 * for use by several threads.
 *
 * @since 0.1
 */
public final class ConfigurationDocument {
  private static final ImmutableSet<String> SECTIONS =
      ImmutableSet.of(
          ConfigurationKeys.REVISION,
          ConfigurationKeys.UPSTREAMS,
          ConfigurationKeys.POOLS,
          ConfigurationKeys.RULES,
          ConfigurationKeys.WORKSPACES);
  private static final ObjectMapper MAPPER = new ObjectMapper();

  private final String source;
  private final Configuration configuration;
  private final Problems problems;
  private final ImmutableMap<JsonPath, Position> positions;

  private ConfigurationDocument(
      String source,
      Configuration configuration,
      Problems problems,
      ImmutableMap<JsonPath, Position> positions) {
    this.source = source;
    this.configuration = configuration;
    this.problems = problems;
    this.positions = positions;
  }

  /**
   * Parses a document that holds a complete configuration, and validates it including the checks
   * across objects.
   *
   * @param source the file or other origin, named in problems
   * @param text the document
   * @return the configuration with the revision named in the document or {@link Revision#NONE}; or
   *     all problems found
   */
  public static Checked<Configuration> read(String source, String text) {
    ConfigurationDocument document = parse(source, text);
    Problems configurationProblems =
        document.locate(ConfigurationChecks.check(document.configuration));
    return Checked.of(
        document.configuration,
        document.problems.plus(configurationProblems.without(document.problems)));
  }

  /**
   * Parses a configuration that was accepted before, such as the content of a snapshot. Unknown
   * keys are only warnings, since a later version of the software may have written them, and the
   * checks across objects are skipped.
   *
   * @param source the file or other origin, named in problems
   * @param text the document
   * @return the configuration, or all problems found
   */
  public static Checked<Configuration> readAccepted(String source, String text) {
    ConfigurationDocument document = parse(text, new ProblemCollector(source, Severity.WARNING));
    return Checked.of(document.configuration, document.problems);
  }

  /**
   * Parses a document that may hold only part of a configuration, and validates each object on its
   * own.
   *
   * @param source the file or other origin, named in problems
   * @param text the document
   * @return the document; check {@link #problems()} before using it
   */
  public static ConfigurationDocument parse(String source, String text) {
    return parse(text, new ProblemCollector(source, Severity.ERROR));
  }

  private static ConfigurationDocument parse(String text, ProblemCollector problems) {
    LocatedValueParser parser = new LocatedValueParser(problems);
    Configuration configuration =
        parser.parse(text).map(root -> readSections(root, problems)).orElse(Configuration.EMPTY);
    return new ConfigurationDocument(
        problems.source(), configuration, problems.build(), parser.positions());
  }

  private static Configuration readSections(LocatedValue root, ProblemCollector problems) {
    FieldReader fields = FieldReader.open(root, JsonPath.ROOT, SECTIONS, problems);
    ObjectReader objects = new ObjectReader(problems);
    long revision = fields.wholeNumber(ConfigurationKeys.REVISION, 0, Long.MAX_VALUE, 0);
    ConfigurationBuilder builder =
        new ConfigurationBuilder(Configuration.EMPTY.withRevision(new Revision(revision)));
    for (ObjectKind kind : ObjectKind.values()) {
      fields
          .namedMembers(kind.section())
          .forEach(
              (name, value) -> {
                ObjectId id = new ObjectId(kind, name);
                objects.read(id, value, id.path()).ifPresent(builder::put);
              });
    }
    return builder.build();
  }

  /**
   * Writes a configuration in its canonical form: sections, names and keys in a fixed order,
   * indented by two spaces per level, without comments.
   *
   * @param configuration the configuration, never null
   * @return the text, ending with a line feed; equal configurations give equal texts
   */
  public static String write(Configuration configuration) {
    try {
      return MAPPER
              .writerWithDefaultPrettyPrinter()
              .writeValueAsString(ObjectWriter.toJson(configuration))
              .replace("\r\n", "\n")
          + "\n";
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("could not serialise the JSON tree of the configuration", e);
    }
  }

  /**
   * Returns the parsed configuration; objects with problems may be missing or incomplete.
   *
   * @return the configuration, never null
   */
  public Configuration configuration() {
    return configuration;
  }

  /**
   * Returns the problems found in single objects, without those of checks across objects.
   *
   * @return the problems, never null
   */
  public Problems problems() {
    return problems;
  }

  /**
   * Adds positions in this document to problems that were found without its text, such as by a
   * server.
   *
   * @param others problems with JSON paths
   * @return the same problems, with a position where this document contains the path or a parent of
   *     it
   */
  public Problems locate(Problems others) {
    return new Problems(
        others.all().stream().map(this::locate).collect(ImmutableList.toImmutableList()));
  }

  private Problem locate(Problem problem) {
    return nearestPosition(problem.path()).map(p -> problem.at(source, p)).orElse(problem);
  }

  private Optional<Position> nearestPosition(JsonPath path) {
    for (JsonPath ancestor = path; !ancestor.equals(JsonPath.ROOT); ancestor = ancestor.parent()) {
      Position position = positions.get(ancestor);
      if (position != null) {
        return Optional.of(position);
      }
    }
    return Optional.empty();
  }
}
