package judge

// WrongAnswers returns the attempts whose answer belonged to another request or
// had the wrong form.
func WrongAnswers(ops []Op) []Finding {
	var found []Finding
	for i := range ops {
		if ops[i].WrongAnswer != "" {
			found = append(found, findingf(CheckWrongAnswers, ops[i].ID, "%s", ops[i].WrongAnswer))
		}
	}
	return found
}
