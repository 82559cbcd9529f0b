/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.http.operator;

import java.util.List;
import org.larkkeel.config.Problems;
import org.larkkeel.errors.ErrorKind;
import org.larkkeel.errors.Slugs;
import org.larkkeel.http.Problem;

/**
 * The body of a failure, after RFC 9457.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param type a URI that names the kind
 * @param title one sentence that describes the kind
 * @param status the HTTP status
 * @param detail what exactly failed
 * @param remedy what the operator can do
 * @param execution whether the operation ran
 * @param conflicts the other change, if it is a conflict
 * @param problems every problem of a change, if it is invalid
 * @since 0.1
 */
public record ProblemDocument(
    String type,
    String title,
    int status,
    String detail,
    String remedy,
    String execution,
    List<AuditPage.Entry> conflicts,
    Problems problems) {
  /** Replaces missing members, which a body may lack, by empty ones. */
  public ProblemDocument {
    conflicts = conflicts == null ? List.of() : List.copyOf(conflicts);
    problems = problems == null ? Problems.NONE : problems;
  }

  /**
   * Describes a failure.
   *
   * @param kind its kind
   * @param detail what exactly failed
   * @return the body
   */
  public static ProblemDocument of(ErrorKind kind, String detail) {
    return of(kind, detail, List.of(), Problems.NONE);
  }

  /**
   * Describes a conflict.
   *
   * @param conflict the outcome
   * @return the body, which names the other change
   */
  public static ProblemDocument of(ProposalOutcome.Conflicting conflict) {
    String detail =
        "Change "
            + conflict.other().id()
            + " by "
            + conflict.other().author()
            + " was accepted first, as revision "
            + conflict.revision()
            + ".";
    AuditPage.Entry other = new AuditPage.Entry(conflict.revision(), conflict.other());
    return of(ErrorKind.CONFLICT, detail, List.of(other), Problems.NONE);
  }

  /**
   * Describes a refusal.
   *
   * @param problems every problem
   * @return the body
   */
  public static ProblemDocument of(Problems problems) {
    String detail = "There are " + problems.all().size() + " problems.";
    return of(ErrorKind.INVALID_CONFIGURATION, detail, List.of(), problems);
  }

  private static ProblemDocument of(
      ErrorKind kind, String detail, List<AuditPage.Entry> conflicts, Problems problems) {
    return new ProblemDocument(
        Problem.TYPE_PREFIX + kind.slug(),
        kind.title(),
        kind.status(),
        detail,
        kind.remedy(),
        Slugs.of(kind.execution()),
        conflicts,
        problems);
  }
}
