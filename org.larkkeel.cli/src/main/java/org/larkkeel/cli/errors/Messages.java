/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.cli.errors;

/**
 * The messages of the command line, except for tables and help pages. Where a message is a format,
 * its comment lists the arguments after the colon.
 *
 * <p>Constants only; safe for use by several threads.
 *
 * @since 0.1
 */
public final class Messages {
  /** Prefix of each message on standard error. */
  public static final String PROGRAM = "larkkeel";

  /** Unknown subcommand: name, remedy. */
  public static final String UNKNOWN_COMMAND = "there is no command \"%s\"; %s";

  /** Remedy for a misspelt name: the most similar name. */
  public static final String DID_YOU_MEAN = "did you mean \"%s\"?";

  /** Remedy that refers to the help. */
  public static final String SEE_HELP = "see larkkeel help";

  /** Invalid arguments: reason, command. */
  public static final String WRONG_USAGE = "%s; see larkkeel %s --help";

  /** Unknown kind: text, choices. */
  public static final String UNKNOWN_KIND = "there is no kind \"%s\"; use one of %s";

  /** Malformed selector: reason. */
  public static final String BAD_SELECTOR = "%s";

  /** No object of that name: object, remedy. */
  public static final String NO_OBJECT = "there is no %s; %s";

  /** Remedy that refers to the list of objects: section. */
  public static final String SEE_LIST = "see larkkeel get %s";

  /** Selector without match: section, selector, section. */
  public static final String NO_MATCH = "none of the %s matches \"%s\"; see larkkeel get %s";

  /** Neither a name nor a selector is given. */
  public static final String NAME_OR_SELECTOR = "give either a name or -l SELECTOR";

  /** No label is given. */
  public static final String NO_LABELS = "name labels as key=value to set or key- to remove";

  /** Malformed label: text. */
  public static final String BAD_LABEL =
      "the label \"%s\" is malformed; write key=value to set or key- to remove, of letters,"
          + " digits and . _ / -";

  /** Neither or both of model and path are given. */
  public static final String MODEL_OR_PATH = "give either --model or --path";

  /** Neither or both of selector and node are given. */
  public static final String SELECTOR_OR_NODE = "give either -l SELECTOR or --this-node";

  /** Drain of a node while not exactly one server is given. */
  public static final String ONE_SERVER =
      "--this-node drains the one node that --server names; name exactly one";

  /** Unknown action of {@code rollout}: action. */
  public static final String ROLLOUT_ACTION = "there is no action \"%s\"; use status";

  /** No server is given. */
  public static final String NO_SERVER =
      "no server is named; use --server HOST:PORT or the variable LARKKEEL_SERVER";

  /** Malformed server: text. */
  public static final String BAD_SERVER =
      "the server \"%s\" is malformed; write HOST:PORT or https://HOST:PORT";

  /** Timeout out of range: seconds. */
  public static final String BAD_TIMEOUT = "--timeout is %d; use 1 to 3600 seconds";

  /** Unreadable file: file, reason. */
  public static final String UNREADABLE = "%s can not be read: %s";

  /** Empty token file: file. */
  public static final String EMPTY_TOKEN = "the token file %s is empty";

  /** No server was available: the reason of each. */
  public static final String UNREACHABLE = "no server carried the command out: %s";

  /** No response within the timeout: seconds. */
  public static final String NO_RESPONSE = "no answer within %d s";

  /** Failure reported by the server: detail, remedy. */
  public static final String SERVER_FAILURE = "%s %s";

  /** Malformed response: server, reason. */
  public static final String BAD_RESPONSE = "the answer of %s is not understood: %s";

  /** No change needed: revision. */
  public static final String UNCHANGED = "unchanged at revision %d";

  /** Accepted: revision. */
  public static final String ACCEPTED = "accepted as revision %d";

  /** Accepted by a dry run: revision. */
  public static final String WOULD_ACCEPT = "dry run: valid at revision %d, nothing changed";

  /** Changed object: type of the difference, object. */
  public static final String CHANGED_OBJECT = "%s %s";

  /** Changed field: path, before, after. */
  public static final String CHANGED_FIELD = "  %s: %s -> %s";

  /** Placeholder for the value of an absent field. */
  public static final String NO_VALUE = "(none)";

  /** Operations of a change: those shown, number of those left out. */
  public static final String MORE_OPERATIONS = "%s and %d more";

  /** Rollout: revision, number of nodes where it is in force, number of all nodes. */
  public static final String ROLLOUT = "revision %d is in force on %d of %d nodes";

  /** Node status: host, data centre, phase, revision, store, live nodes, requests, queued. */
  public static final String NODE_STATUS =
      "node %s in %s: %s, revision %d, store %s, %d live nodes, %d requests, %d queued";

  /** Drain of a node has started: host. */
  public static final String DRAINING = "node %s finishes its requests and ends";

  /** Malformed fingerprint of a request: text. */
  public static final String BAD_FINGERPRINT =
      "the request \"%s\" is malformed; write the 32 hexadecimal digits that the list shows";

  /** Explanation if no rule matches. */
  public static final String NO_RULE = "no rule matches; the request would be refused as not run";

  /** Explanation: rule, pools, predicted wait in milliseconds, number of queued requests. */
  public static final String EXPLAINED =
      "rule %s, pools %s; predicted wait %.1f ms behind %d requests";

  private Messages() {}
}
