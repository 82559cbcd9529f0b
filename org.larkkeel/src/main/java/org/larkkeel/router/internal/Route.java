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
 * The route of the requests of one rule for one model: the candidate upstreams and the waiting
 * requests.
 *
 * <p>Not safe for use by several threads.
 *
 * @since 0.1
 */
public final class Route {
  /**
   * The key of a route.
   *
   * @param rule the name of the rule
   * @param model the model; empty for plain calls
   */
  public record Key(RuleName rule, Optional<ModelName> model) {}

  private static final double PROMPT_SMOOTHING = 0.02;

  /** The key of the route. */
  public final Key key;

  /** The lanes, one of each kind. */
  final ImmutableMap<LaneKind, Lane> lanes;

  /** The requests whose KV cache is held until a decode slot is free, oldest first. */
  final Map<RequestId, RequestState> held = new LinkedHashMap<>();

  /** The distribution of the lengths of answers. */
  final OutputLengths outputLengths;

  /** The rate at which requests leave the lanes. */
  final DepartureRate departures = new DepartureRate();

  private Rule rule;
  private CandidateSet prefill;
  private CandidateSet decode;
  private CandidateSet service;
  private int servedSinceLate;
  private double meanPromptTokens;
  boolean listed;

  /**
   * Creates a route without upstreams.
   *
   * @param key the key of the route
   * @param rule the rule
   * @param defaultOutputTokens the expected length of an answer before any was observed, in tokens
   */
  public Route(Key key, Rule rule, int defaultOutputTokens) {
    this.key = key;
    this.rule = rule;
    this.outputLengths = new OutputLengths(defaultOutputTokens);
    lanes = Maps.toMap(EnumSet.allOf(LaneKind.class), kind -> new Lane());
  }

  /**
   * Sets the rule and the candidate upstreams.
   *
   * @param newRule the current rule
   * @param newPrefill the prefill engines
   * @param newDecode the decode engines
   * @param newService the services
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

  /** Removes the route from its candidate sets. */
  public void detach() {
    if (prefill != null) {
      prefill.routes().remove(this);
      decode.routes().remove(this);
      service.routes().remove(this);
    }
  }

  /**
   * Returns the rule.
   *
   * @return the current rule
   */
  public Rule rule() {
    return rule;
  }

  /**
   * Returns the prefill engines.
   *
   * @return the set
   */
  public CandidateSet prefill() {
    return prefill;
  }

  /**
   * Returns the decode engines.
   *
   * @return the set
   */
  public CandidateSet decode() {
    return decode;
  }

  /**
   * Returns the services.
   *
   * @return the set
   */
  public CandidateSet service() {
    return service;
  }

  /**
   * Returns whether requests that miss their target are refused rather than served late.
   *
   * @return true if so
   */
  public boolean isInteractive() {
    return rule.urgency() == Urgency.INTERACTIVE;
  }

  /**
   * Returns whether the requests are plain calls, which need no decode slot.
   *
   * @return true if so
   */
  public boolean isPlain() {
    return key.model().isEmpty();
  }

  /**
   * Returns whether there are upstreams for the requests, even if these are full or ejected.
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
   * Returns a lane.
   *
   * @param kind the kind of lane
   * @return the lane, not null
   */
  public Lane lane(LaneKind kind) {
    return lanes.get(kind);
  }

  /**
   * Returns the number of requests in the lanes.
   *
   * @return the number
   */
  public int queued() {
    int count = 0;
    for (Lane lane : lanes.values()) {
      count += lane.size();
    }
    return count;
  }

  /**
   * Updates the mean prompt size with a request that arrived.
   *
   * @param tokens the size of its prompt
   */
  void recordArrival(int tokens) {
    meanPromptTokens =
        meanPromptTokens == 0
            ? tokens
            : meanPromptTokens + PROMPT_SMOOTHING * (tokens - meanPromptTokens);
  }

  /**
   * Returns the mean size of prompts.
   *
   * @return tokens
   */
  double meanPromptTokens() {
    return meanPromptTokens;
  }

  /**
   * Counts a served request, so that the late lane gets its turn at intervals.
   *
   * @param kind the kind of the lane of the request
   */
  void recordServed(LaneKind kind) {
    servedSinceLate = kind == LaneKind.LATE ? 0 : servedSinceLate + 1;
  }

  /**
   * Returns whether it is the turn of a late request.
   *
   * @param interval the number of other requests served between two turns
   * @return true if so
   */
  boolean isLateTurn(int interval) {
    return servedSinceLate >= interval;
  }
}
