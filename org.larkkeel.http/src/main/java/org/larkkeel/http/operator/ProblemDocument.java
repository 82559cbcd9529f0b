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
 * The body of an error response, in the format of RFC 9457.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param type a URI that identifies the kind of error
 * @param title one sentence that describes the kind of error
 * @param status the HTTP status
 * @param detail a description of this failure
 * @param remedy the action that the operator can take
 * @param execution whether the operation was executed
 * @param conflicts the change that was accepted first, for a conflict; otherwise empty
 * @param problems all problems of an invalid change; otherwise empty
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
  /** Replaces members that are missing in a parsed body by empty ones. */
  public ProblemDocument {
    conflicts = conflicts == null ? List.of() : List.copyOf(conflicts);
    problems = problems == null ? Problems.NONE : problems;
  }

  /**
   * Creates the body for a failure.
   *
   * @param kind the kind of error
   * @param detail a description of this failure
   * @return the body
   */
  public static ProblemDocument of(ErrorKind kind, String detail) {
    return of(kind, detail, List.of(), Problems.NONE);
  }

  /**
   * Creates the body for a conflict.
   *
   * @param conflict the outcome of the proposal
   * @return the body, which contains the change that was accepted first
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
   * Creates the body for an invalid change.
   *
   * @param problems all problems of the change
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
