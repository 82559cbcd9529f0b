/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.router.internal;

import com.google.common.collect.ImmutableMap;
import com.google.common.collect.Maps;
import java.util.EnumSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import org.larkkeel.config.Rule;
import org.larkkeel.config.Urgency;
import org.larkkeel.lib.ModelName;
import org.larkkeel.lib.RequestId;
import org.larkkeel.lib.RuleName;

/**
 * The requests of one rule for one model: where they may go and which of them wait.
 *
 * <p>Not safe for use by several threads.
 *
 * @since 0.1
 */
public final class Route {
  /**
   * What identifies a route.
   *
   * @param rule the rule
   * @param model the model; empty for plain calls
   */
  public record Key(RuleName rule, Optional<ModelName> model) {}

  private static final double PROMPT_STEP = 0.02;

  /** What identifies it. */
  public final Key key;

  /** A lane of each kind. */
  final ImmutableMap<LaneKind, Lane> lanes;

  /** Requests whose KV cache is held and that wait for a decode slot, oldest first. */
  final Map<RequestId, RequestState> held = new LinkedHashMap<>();

  /** How long its answers are. */
  final OutputLengths lengths;

  /** How fast it is served while requests wait. */
  final Pace pace = new Pace();

  private Rule rule;
  private CandidateSet prefill;
  private CandidateSet decode;
  private CandidateSet service;
  private int sinceLate;
  private double usualPrompt;
  boolean listed;

  /**
   * Creates a route without upstreams.
   *
   * @param key what identifies it
   * @param rule its rule
   * @param guess tokens expected of an answer before any was seen
   */
  public Route(Key key, Rule rule, int guess) {
    this.key = key;
    this.rule = rule;
    this.lengths = new OutputLengths(guess);
    lanes = Maps.toMap(EnumSet.allOf(LaneKind.class), kind -> new Lane());
  }

  /**
   * Sets where its requests may go.
   *
   * @param newRule its rule as it is now
   * @param newPrefill prefill engines
   * @param newDecode decode engines
   * @param newService services
   */
  public void update(
      Rule newRule, CandidateSet newPrefill, CandidateSet newDecode, CandidateSet newService) {
    detach();
    rule = newRule;
    prefill = newPrefill;
    decode = newDecode;
    service = newService;
    prefill.routes().add(this);
    decode.routes().add(this);
    service.routes().add(this);
  }

  /** Takes the route off its candidate sets. */
  public void detach() {
    if (prefill != null) {
      prefill.routes().remove(this);
      decode.routes().remove(this);
      service.routes().remove(this);
    }
  }

  /**
   * Its rule.
   *
   * @return the rule as it is now
   */
  public Rule rule() {
    return rule;
  }

  /**
   * Prefill engines.
   *
   * @return the set
   */
  public CandidateSet prefill() {
    return prefill;
  }

  /**
   * Decode engines.
   *
   * @return the set
   */
  public CandidateSet decode() {
    return decode;
  }

  /**
   * Services.
   *
   * @return the set
   */
  public CandidateSet service() {
    return service;
  }

  /**
   * Tells whether its requests are refused early rather than served late.
   *
   * @return true if so
   */
  public boolean isInteractive() {
    return rule.urgency() == Urgency.INTERACTIVE;
  }

  /**
   * Tells whether its requests are plain calls, which need no decode slot.
   *
   * @return true if so
   */
  public boolean isPlain() {
    return key.model().isEmpty();
  }

  /**
   * Tells whether any upstream could take its requests, be it full or ejected.
   *
   * @return true if so
   */
  public boolean hasUpstreams() {
    if (isPlain()) {
      return !service.all().isEmpty();
    }
    return !prefill.all().isEmpty() && !decode.all().isEmpty();
  }

  /**
   * One of its lanes.
   *
   * @param kind which
   * @return the lane
   */
  public Lane lane(LaneKind kind) {
    return lanes.get(kind);
  }

  /**
   * Requests that wait in its lanes.
   *
   * @return a count
   */
  public int queued() {
    int count = 0;
    for (Lane lane : lanes.values()) {
      count += lane.size();
    }
    return count;
  }

  /**
   * Learns from the prompt of a request that arrived.
   *
   * @param tokens its size
   */
  void arrived(int tokens) {
    usualPrompt = usualPrompt == 0 ? tokens : usualPrompt + PROMPT_STEP * (tokens - usualPrompt);
  }

  /**
   * The mean size of its prompts.
   *
   * @return tokens
   */
  double usualPrompt() {
    return usualPrompt;
  }

  /**
   * Counts a request served, so that late ones get their small share.
   *
   * @param kind the lane that it came from
   */
  void served(LaneKind kind) {
    sinceLate = kind == LaneKind.LATE ? 0 : sinceLate + 1;
  }

  /**
   * Tells whether it is the turn of a late request.
   *
   * @param every a late one is served after so many others
   * @return true if so
   */
  boolean isTurnOfLate(int every) {
    return sinceLate >= every;
  }
}
