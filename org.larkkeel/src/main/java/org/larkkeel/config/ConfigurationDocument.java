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
 * A configuration as text: JSON with comments and trailing commas.
 *
 * <p>Reading reports every problem at once with its place. Immutable and safe for use by several
 * threads.
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
   * Reads a document that stands for itself, and checks it in whole.
   *
   * @param source the file or other origin, for problems
   * @param text the document
   * @return the configuration with the revision named in the document or {@link Revision#NONE}, or
   *     every problem
   */
  public static Checked<Configuration> read(String source, String text) {
    ConfigurationDocument document = parse(source, text);
    Problems whole = document.locate(ConfigurationChecks.check(document.configuration));
    return Checked.of(
        document.configuration, document.problems.plus(whole.without(document.problems)));
  }

  /**
   * Reads a configuration that was accepted before, as a snapshot holds it. Unknown keys, which a
   * later version may have written, are only warnings, and the whole is not checked again.
   *
   * @param source the origin, for problems
   * @param text the document
   * @return the configuration, or every problem
   */
  public static Checked<Configuration> readAccepted(String source, String text) {
    ConfigurationDocument document = parse(text, new ProblemCollector(source, Severity.WARNING));
    return Checked.of(document.configuration, document.problems);
  }

  /**
   * Reads a document that may be a part of a configuration, and checks each object alone.
   *
   * @param source the file or other origin, for problems
   * @param text the document
   * @return the document; see {@link #problems()} before use
   */
  public static ConfigurationDocument parse(String source, String text) {
    return parse(text, new ProblemCollector(source, Severity.ERROR));
  }

  private static ConfigurationDocument parse(String text, ProblemCollector problems) {
    LocatedParser parser = new LocatedParser(problems);
    Configuration configuration =
        parser.parse(text).map(root -> readSections(root, problems)).orElse(Configuration.EMPTY);
    return new ConfigurationDocument(
        problems.source(), configuration, problems.build(), parser.positions());
  }

  private static Configuration readSections(Located root, ProblemCollector problems) {
    FieldReader fields = FieldReader.open(root, JsonPath.ROOT, SECTIONS, problems);
    ObjectReader objects = new ObjectReader(problems);
    long revision = fields.whole(ConfigurationKeys.REVISION, 0, Long.MAX_VALUE, 0);
    ConfigurationBuilder builder =
        new ConfigurationBuilder(Configuration.EMPTY.withRevision(new Revision(revision)));
    for (ObjectKind kind : ObjectKind.values()) {
      fields
          .named(kind.section())
          .forEach(
              (name, value) -> {
                ObjectId id = new ObjectId(kind, name);
                objects.read(id, value, id.path()).ifPresent(builder::put);
              });
    }
    return builder.build();
  }

  /**
   * Writes a configuration in its canonical form: sections, names and keys in a fixed order, two
   * spaces a level, no comments.
   *
   * @param configuration the configuration, never null
   * @return the text, ended by a line feed; equal configurations give equal texts
   */
  public static String write(Configuration configuration) {
    try {
      return MAPPER
              .writerWithDefaultPrettyPrinter()
              .writeValueAsString(ObjectWriter.toJson(configuration))
              .replace("\r\n", "\n")
          + "\n";
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("a tree of plain nodes can always be written", e);
    }
  }

  /**
   * What was read; objects with problems may be missing or incomplete.
   *
   * @return the configuration, never null
   */
  public Configuration configuration() {
    return configuration;
  }

  /**
   * The problems of single objects.
   *
   * @return the problems, never null
   */
  public Problems problems() {
    return problems;
  }

  /**
   * Adds places in this document to problems that were found without it.
   *
   * @param others problems that carry paths
   * @return the same problems; those whose object stands in this document carry a place
   */
  public Problems locate(Problems others) {
    return new Problems(
        others.all().stream().map(this::locate).collect(ImmutableList.toImmutableList()));
  }

  private Problem locate(Problem problem) {
    return nearest(problem.path()).map(p -> problem.at(source, p)).orElse(problem);
  }

  private Optional<Position> nearest(JsonPath path) {
    for (JsonPath at = path; !at.equals(JsonPath.ROOT); at = at.parent()) {
      Position position = positions.get(at);
      if (position != null) {
        return Optional.of(position);
      }
    }
    return Optional.empty();
  }
}
