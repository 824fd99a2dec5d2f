package conf_test

import (
	"errors"
	"fmt"

	"pomelofork/core/conf"
)

// judge compares what the operators were told with what came about.
func (r *race) judge() error {
	for len(r.late) > 0 {
		r.takeLate()
	}
	made := map[string]uint64{}
	for i, config := range r.history[1:] {
		if before := r.history[i].Version(); config.Version() != before+1 {
			return fmt.Errorf("version %d follows version %d", config.Version(), before)
		}
		entries := config.Document().Changes
		last := entries[len(entries)-1]
		if version, ok := made[last.ID]; ok {
			return fmt.Errorf("change %s made version %d and again %d", last.ID, version, config.Version())
		}
		made[last.ID] = config.Version()
		if _, err := conf.Parse(config.Text()); err != nil {
			return fmt.Errorf("version %d: %w", config.Version(), err)
		}
	}
	return errors.Join(r.judgeKeys(), r.judgeAnswers(made))
}

// judgeKeys looks for a withdrawn key that works again.
func (r *race) judgeKeys() error {
	withdrawn := map[conf.KeyID]bool{}
	for _, config := range r.history {
		account, _ := config.Account("a")
		for _, key := range account.Keys() {
			if withdrawn[key.ID()] && !key.Withdrawn() {
				return fmt.Errorf("version %d: key %s works again", config.Version(), key.ID())
			}
			withdrawn[key.ID()] = withdrawn[key.ID()] || key.Withdrawn()
		}
	}
	return nil
}

// judgeAnswers compares each answer with the versions that the changes made.
func (r *race) judgeAnswers(made map[string]uint64) error {
	var faults []error
	for _, o := range r.operators {
		for _, done := range o.done {
			faults = append(faults, done.judge(made[done.id]))
		}
	}
	return errors.Join(faults...)
}

// judge compares one answer with the version that the change made, or zero.
func (o outcome) judge(made uint64) error {
	switch o.verdict.Answer() {
	case conf.AnswerNotKnown:
		return nil
	case conf.AnswerAccepted:
		if made == o.verdict.Version() {
			return nil
		}
	default:
		if made == 0 {
			return nil
		}
	}
	return fmt.Errorf("change %s was answered %s with version %d, but made version %d", o.id, o.verdict.Answer(), o.verdict.Version(), made)
}
