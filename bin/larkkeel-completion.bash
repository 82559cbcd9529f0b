# Completes commands, kinds and names of larkkeel in Bash: . bin/larkkeel-completion.bash
_larkkeel() {
  local word=${COMP_WORDS[COMP_CWORD]} offers=
  case $COMP_CWORD:${COMP_WORDS[1]} in
    1:*) offers=$("${COMP_WORDS[0]}" complete commands "$word" 2>/dev/null) ;;
    2:get | 2:describe | 2:label | 2:delete)
      offers=$("${COMP_WORDS[0]}" complete kinds "$word" 2>/dev/null)
      ;;
    2:help) offers=$("${COMP_WORDS[0]}" complete commands "$word" 2>/dev/null) ;;
    2:rollout) offers=status ;;
    3:get | 3:describe | 3:label | 3:delete)
      offers=$("${COMP_WORDS[0]}" complete "${COMP_WORDS[2]}" "$word" 2>/dev/null)
      ;;
  esac
  mapfile -t COMPREPLY < <(compgen -W "$offers" -- "$word")
}
complete -F _larkkeel larkkeel
